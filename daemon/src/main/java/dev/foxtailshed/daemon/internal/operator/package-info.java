/** The operator API of an entry: manifests, their history, status and records. */
package dev.foxtailshed.daemon.internal.operator;
