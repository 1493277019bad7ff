// Package bench compares policies for scheduling and for the selection of failure domains in virtual time and measures
// the duration of planner rounds. Its subpackages simulate the routing of requests and measure the daemons under load.
package bench
