package dev.foxtailshed.wire;

import dev.foxtailshed.wire.Message.Heartbeat;
import dev.foxtailshed.wire.Message.Hello;
import dev.foxtailshed.wire.internal.HandshakeProof;

/** The bytes that an invalid peer sends instead of a valid hello. */
enum InvalidHello {
    GARBAGE(true),
    NEGATIVE_LENGTH(true),
    OVERSIZE(true),
    MESSAGE_BEFORE_HELLO(false),
    WRONG_PROOF(false),
    WRONG_VERSION(false),
    PROOF_FOR_OTHER_NAME(false),
    PROOF_OF_ACCEPTOR(false),
    SHORT_NONCE(false),
    NO_MESSAGE(false);

    final boolean malformed;

    InvalidHello(boolean malformed) {
        this.malformed = malformed;
    }

    long timeoutMillis() {
        return this == NO_MESSAGE ? 100 : 10_000;
    }

    byte[] bytes(byte[] nonce) {
        switch (this) {
            case GARBAGE:
                return new byte[] {0, 0, 0, 2, 'G', 'E'};
            case NEGATIVE_LENGTH:
                return new byte[] {-1, -1, -1, -1};
            case OVERSIZE:
                return new byte[] {0, 0, 0x10, 1};
            case MESSAGE_BEFORE_HELLO:
                return FrameTransportTest.frame(new Heartbeat(1));
            case WRONG_PROOF:
                return FrameTransportTest.frame(new Hello(1, "x", 1, new byte[32], new byte[32]));
            case PROOF_FOR_OTHER_NAME:
                return FrameTransportTest.frame(
                        new Hello(1, "y", 1, proof("x", nonce), new byte[32]));
            case PROOF_OF_ACCEPTOR:
                Connection.Peer self = new Connection.Peer("x", 1);
                byte[] acceptorProof =
                        HandshakeProof.sign(
                                FrameTransportTest.KEY, HandshakeProof.Side.ACCEPTOR, self, nonce);
                return FrameTransportTest.frame(new Hello(1, "x", 1, acceptorProof, new byte[32]));
            case WRONG_VERSION:
                return FrameTransportTest.frame(
                        new Hello(2, "x", 1, proof("x", nonce), new byte[32]));
            case SHORT_NONCE:
                return FrameTransportTest.frame(
                        new Hello(1, "x", 1, proof("x", nonce), new byte[8]));
            default:
                return new byte[0];
        }
    }

    static byte[] proof(String name, byte[] nonce) {
        return HandshakeProof.sign(
                FrameTransportTest.KEY,
                HandshakeProof.Side.CONNECTOR,
                new Connection.Peer(name, 1),
                nonce);
    }
}
