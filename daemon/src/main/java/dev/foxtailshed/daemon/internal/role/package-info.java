/** The interface of the daemon's roles, which are registered as services. */
package dev.foxtailshed.daemon.internal.role;
