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
 * One side of the handshake that proves that both processes hold the shared key.
 *
 * <p>Each connection uses its own instance. Not thread-safe.
 */
interface Handshake {

    /** The protocol version of this build. */
    int PROTOCOL_VERSION = 1;

    /** The maximum size of a frame before the handshake is complete. */
    int MAXIMUM_FRAME_BYTES = 4 * 1024;

    /**
     * The minimum length of a nonce, long enough that a nonce does not recur and no proof can be
     * replayed.
     */
    int MINIMUM_NONCE_BYTES = 16;

    /** The maximum length of a nonce, which limits what a peer can have signed with the key. */
    int MAXIMUM_NONCE_BYTES = 64;

    /** Sends the first message of this side, if it sends one unprompted. */
    void start(Consumer<Message> reply);

    /**
     * Processes the next message of the handshake.
     *
     * @return the peer once the handshake is complete on this side, otherwise empty
     * @throws RefusedHandshakeException if the message is not the expected one or its proof,
     *     version or nonce is invalid
     */
    Optional<Peer> receive(Message message, Consumer<Message> reply)
            throws RefusedHandshakeException;

    /** Returns the nonce if its length is allowed, otherwise refuses the handshake. */
    static byte[] requireValidNonce(byte[] nonce) throws RefusedHandshakeException {
        if (nonce.length < MINIMUM_NONCE_BYTES || nonce.length > MAXIMUM_NONCE_BYTES) {
            throw new RefusedHandshakeException("invalid nonce length: " + nonce.length + " bytes");
        }
        return nonce;
    }

    /** Casts the message to the expected type, or refuses the handshake. */
    static <M extends Message> M requireType(Class<M> type, Message message)
            throws RefusedHandshakeException {
        if (!type.isInstance(message)) {
            throw new RefusedHandshakeException(
                    message.getClass().getSimpleName()
                            + " received before the handshake was complete");
        }
        return type.cast(message);
    }

    /** The accepting side, which sends the challenge and verifies the connecting side first. */
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
                throw new RefusedHandshakeException(
                        "unsupported protocol version " + hello.protocolVersion());
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

    /** The connecting side, which proves its identity and challenges the accepting side in turn. */
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
            // The accepting side sends the first message.
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
