// Package wire holds the messages between processes and the settings, generated
// from the schemas in proto/.
package wire
