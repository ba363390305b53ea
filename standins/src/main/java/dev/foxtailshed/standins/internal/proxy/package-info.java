/** The fault-injecting TCP proxy. */
package dev.foxtailshed.standins.internal.proxy;
