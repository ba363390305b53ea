/** Estimates of the cost and waiting time of requests, and the order of waiting requests. */
package dev.foxtailshed.kernel.admission;
