/** The main class of the daemon. */
package dev.foxtailshed.daemon;
