/** The HTTP server and the JSON conversion of the stand-ins. */
package dev.foxtailshed.standins.internal.http;
