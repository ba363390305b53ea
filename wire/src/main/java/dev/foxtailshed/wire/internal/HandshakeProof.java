package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.SharedKey;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;

/**
 * Signs and verifies the proofs of a handshake.
 *
 * <p>A proof signs the side, the claimed identity and the nonce of the other side. Because side and
 * identity are signed, a proof of one side cannot be reflected as a proof of the other, and nobody
 * on the network path can change a name or an incarnation. Stateless and thread-safe.
 */
public final class HandshakeProof {

    private static final String DOMAIN_SEPARATOR = "foxtailshed-handshake-1";

    private HandshakeProof() {}

    /** The two sides of a handshake; their names are part of the signed bytes. */
    public enum Side {
        /** The side that accepts the connection. */
        ACCEPTOR,
        /** The side that opens the connection. */
        CONNECTOR
    }

    /**
     * Returns the proof of one side of a handshake.
     *
     * @param key the shared key
     * @param side the side that signs
     * @param self the identity of the signing process
     * @param nonce the nonce received from the other side
     * @return the signature of side, identity and nonce under the key
     */
    public static byte[] sign(SharedKey key, Side side, Peer self, byte[] nonce) {
        return key.sign(signedBytes(side, self, nonce));
    }

    /**
     * Returns whether a proof is valid, comparing in constant time.
     *
     * @param key the shared key
     * @param side the side that signed
     * @param peer the identity that the signer claims
     * @param nonce the nonce that was sent to the signer
     * @param proof the proof to verify
     * @return true if the signer holds the key and signed the claimed identity
     */
    static boolean verify(SharedKey key, Side side, Peer peer, byte[] nonce, byte[] proof) {
        return MessageDigest.isEqual(sign(key, side, peer, nonce), proof);
    }

    private static byte[] signedBytes(Side side, Peer peer, byte[] nonce) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(DOMAIN_SEPARATOR);
            out.writeUTF(side.name());
            out.writeUTF(peer.name());
            out.writeLong(peer.incarnation());
            out.writeInt(nonce.length);
            out.write(nonce);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return bytes.toByteArray();
    }
}
