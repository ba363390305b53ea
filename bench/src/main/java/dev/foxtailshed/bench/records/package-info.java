/** Measurements of the size of the record of requests and of the time to verify it. */
package dev.foxtailshed.bench.records;
