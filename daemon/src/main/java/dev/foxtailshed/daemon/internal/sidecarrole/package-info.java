/** The sidecar as a role of the daemon: its settings, fencing number and events. */
package dev.foxtailshed.daemon.internal.sidecarrole;
