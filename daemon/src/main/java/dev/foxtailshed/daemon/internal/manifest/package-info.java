/** The manifest in force at an instance, and how manifests are accepted, stored and distributed. */
package dev.foxtailshed.daemon.internal.manifest;
