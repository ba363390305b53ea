/** The entry that forwards requests directly to backend servers. */
package dev.foxtailshed.daemon.internal.direct;
