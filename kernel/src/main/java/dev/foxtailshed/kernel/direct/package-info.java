/** Routing decisions of an entry that forwards requests directly to backend servers. */
package dev.foxtailshed.kernel.direct;
