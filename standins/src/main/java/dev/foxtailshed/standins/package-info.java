/** Stand-ins for the external systems that foxtailshed works with, for tests and benchmarks. */
package dev.foxtailshed.standins;
