// Package bench measures the decisions in virtual time and the daemons under load.
package bench
