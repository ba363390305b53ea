/** Starts the product as processes on loopback, for integration tests and measurements. */
package dev.foxtailshed.harness;
