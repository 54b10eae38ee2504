// Package anvilslope measures what the control of a fleet costs at several sizes and fits straight lines to the values,
// from which docs/CAPACITY.md derives the cost at the target scale.
//
// A control loop runs against stand-ins for the table, the workers and its peers. These answer at once, and on another
// thread, so the CPU time of the loop's thread and the memory that the loop holds are those of control alone. Messages
// are measured in the encoding that the programs use, over loopback connections that count bytes.
package anvilslope
