/** The codec, handshake and transport that implement the public types of the wire module. */
package dev.foxtailshed.wire.internal;
