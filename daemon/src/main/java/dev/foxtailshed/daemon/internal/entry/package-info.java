/** The entry role: accepts requests, chooses servers, tracks attempts and answers callers. */
package dev.foxtailshed.daemon.internal.entry;
