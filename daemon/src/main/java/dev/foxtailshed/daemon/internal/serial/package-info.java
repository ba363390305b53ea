/** An executor that runs tasks one at a time. */
package dev.foxtailshed.daemon.internal.serial;
