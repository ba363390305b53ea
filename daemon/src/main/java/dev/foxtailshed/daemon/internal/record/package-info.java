/** Writes the record of requests to the object API and reads it. */
package dev.foxtailshed.daemon.internal.record;
