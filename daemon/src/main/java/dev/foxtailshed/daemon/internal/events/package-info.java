/** Numbered log events and their output as text or JSON. */
package dev.foxtailshed.daemon.internal.events;
