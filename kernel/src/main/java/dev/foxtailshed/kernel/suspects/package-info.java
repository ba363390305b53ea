/** Tracks requests that are suspected of crashing the backend servers that run them. */
package dev.foxtailshed.kernel.suspects;
