/** Settings from flags and environment variables, validated before a role starts. */
package dev.foxtailshed.daemon.internal.settings;
