/** The sidecar: admits work to one backend server and runs it there. */
package dev.foxtailshed.daemon.internal.sidecar;
