package dev.foxtailshed.wire.internal;

/** Thrown when the handshake of a peer is refused; the message is the reason. */
final class RefusedHandshakeException extends Exception {

    RefusedHandshakeException(String reason) {
        super(reason);
    }
}
