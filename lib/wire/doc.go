// Package wire contains the messages exchanged between processes and the
// settings, generated from the schemas in proto/.
package wire
