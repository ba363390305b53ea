/** Parsing, validation and comparison of manifests; not for use outside the parent package. */
package dev.foxtailshed.kernel.manifest.internal;
