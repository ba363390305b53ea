package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.Message.Challenge;
import dev.foxtailshed.wire.Message.Hello;
import dev.foxtailshed.wire.Message.Welcome;
import dev.foxtailshed.wire.SharedKey;
import dev.foxtailshed.wire.internal.HandshakeProof.Side;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One side of the proof that both processes hold the shared key.
 *
 * <p>Not thread-safe; one object serves one connection.
 */
interface Handshake {

    /** The version of the protocol that this build speaks. */
    int PROTOCOL_VERSION = 1;

    /** The longest frame before the proof. */
    int MAXIMUM_FRAME_BYTES = 4 * 1024;

    /** The fewest bytes of a nonce, so that a proof is never worth replaying. */
    int MINIMUM_NONCE_BYTES = 16;

    /** The most bytes of a nonce, so that nobody has longer texts signed. */
    int MAXIMUM_NONCE_BYTES = 64;

    /** Sends what this side has to say first. */
    void start(Consumer<Message> reply);

    /** Takes the next message; the peer is present once both sides are proved. */
    Optional<Peer> receive(Message message, Consumer<Message> reply)
            throws RefusedHandshakeException;

    /** Refuses a nonce of an unusual length. */
    static byte[] requireValidNonce(byte[] nonce) throws RefusedHandshakeException {
        if (nonce.length < MINIMUM_NONCE_BYTES || nonce.length > MAXIMUM_NONCE_BYTES) {
            throw new RefusedHandshakeException("nonce of " + nonce.length + " bytes");
        }
        return nonce;
    }

    /** Casts a message to the one expected now. */
    static <M extends Message> M requireType(Class<M> type, Message message)
            throws RefusedHandshakeException {
        if (!type.isInstance(message)) {
            throw new RefusedHandshakeException(
                    message.getClass().getSimpleName() + " before the handshake was over");
        }
        return type.cast(message);
    }

    /** The side that listens: asks first and lets in. */
    final class Acceptor implements Handshake {

        private final SharedKey key;
        private final Peer self;
        private final byte[] nonce = SharedKey.newNonce();

        Acceptor(SharedKey key, Peer self) {
            this.key = key;
            this.self = self;
        }

        @Override
        public void start(Consumer<Message> reply) {
            reply.accept(new Challenge(nonce));
        }

        @Override
        public Optional<Peer> receive(Message message, Consumer<Message> reply)
                throws RefusedHandshakeException {
            Hello hello = requireType(Hello.class, message);
            if (hello.protocolVersion() != PROTOCOL_VERSION) {
                throw new RefusedHandshakeException("protocol version " + hello.protocolVersion());
            }
            Peer peer = new Peer(hello.instanceId(), hello.incarnation());
            if (!HandshakeProof.verify(key, Side.CONNECTOR, peer, nonce, hello.proof())) {
                throw new RefusedHandshakeException("wrong key");
            }
            byte[] proof =
                    HandshakeProof.sign(key, Side.ACCEPTOR, self, requireValidNonce(hello.nonce()));
            reply.accept(new Welcome(self.name(), self.incarnation(), proof));
            return Optional.of(peer);
        }
    }

    /** The side that connects: proves itself and asks back. */
    final class Connector implements Handshake {

        private final SharedKey key;
        private final Peer self;
        private final byte[] nonce = SharedKey.newNonce();
        private boolean challenged;

        Connector(SharedKey key, Peer self) {
            this.key = key;
            this.self = self;
        }

        @Override
        public void start(Consumer<Message> reply) {
            // The accepting side speaks first.
        }

        @Override
        public Optional<Peer> receive(Message message, Consumer<Message> reply)
                throws RefusedHandshakeException {
            if (!challenged) {
                byte[] challengeNonce =
                        requireValidNonce(requireType(Challenge.class, message).nonce());
                byte[] proof = HandshakeProof.sign(key, Side.CONNECTOR, self, challengeNonce);
                challenged = true;
                reply.accept(
                        new Hello(PROTOCOL_VERSION, self.name(), self.incarnation(), proof, nonce));
                return Optional.empty();
            }
            Welcome welcome = requireType(Welcome.class, message);
            Peer peer = new Peer(welcome.serverName(), welcome.incarnation());
            if (!HandshakeProof.verify(key, Side.ACCEPTOR, peer, nonce, welcome.proof())) {
                throw new RefusedHandshakeException("wrong key");
            }
            return Optional.of(peer);
        }
    }
}
