/** The interfaces between a direct entry and the hosting platform that it runs on. */
package dev.foxtailshed.daemon.hosting;
