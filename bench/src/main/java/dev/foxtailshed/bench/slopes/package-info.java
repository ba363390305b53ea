/** Scaling measurements: the cost of each additional server, request, deployment and message. */
package dev.foxtailshed.bench.slopes;
