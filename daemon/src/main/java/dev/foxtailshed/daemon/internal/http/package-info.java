/** HTTP endpoints, streamed responses and the HTTP client for backend servers. */
package dev.foxtailshed.daemon.internal.http;
