/** The messages between entry and sidecar processes, and the connections that carry them. */
package dev.foxtailshed.wire;
