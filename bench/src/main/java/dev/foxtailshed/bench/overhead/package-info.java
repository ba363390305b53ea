/** Overhead of entry and sidecar, measured against the same calls sent directly. */
package dev.foxtailshed.bench.overhead;
