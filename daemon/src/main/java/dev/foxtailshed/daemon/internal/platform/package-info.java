/** The client of the platform's object API and list of instances. */
package dev.foxtailshed.daemon.internal.platform;
