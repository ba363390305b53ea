/** The stand-in for the platform's object API and instance list. */
package dev.foxtailshed.standins.internal.platform;
