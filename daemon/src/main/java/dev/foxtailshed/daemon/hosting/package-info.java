/** What a hosting platform provides to an entry that forwards directly to backend servers. */
package dev.foxtailshed.daemon.hosting;
