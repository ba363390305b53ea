/** The timer service of the daemon. */
package dev.foxtailshed.daemon.internal.timer;
