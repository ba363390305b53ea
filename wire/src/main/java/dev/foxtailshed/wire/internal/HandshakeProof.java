package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Connection.Peer;
import dev.foxtailshed.wire.SharedKey;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;

/**
 * What each side of a handshake signs: which side it is, who it says it is, and the other's nonce.
 *
 * <p>Since side and identity are signed too, a proof of one side cannot be turned into one of the
 * other, and nobody on the way can change a name or an incarnation. Stateless and thread-safe.
 */
public final class HandshakeProof {

    private static final String DOMAIN_SEPARATOR = "foxtailshed-handshake-1";

    private HandshakeProof() {}

    /** The two sides. */
    public enum Side {
        /** The side that listens. */
        ACCEPTOR,
        /** The side that connects. */
        CONNECTOR
    }

    /**
     * Signs.
     *
     * @param key the shared key
     * @param side the side that signs
     * @param self who the signer says it is
     * @param nonce the other side's nonce
     * @return the proof
     */
    public static byte[] sign(SharedKey key, Side side, Peer self, byte[] nonce) {
        return key.sign(signedBytes(side, self, nonce));
    }

    /**
     * Checks a proof in constant time.
     *
     * @param key the shared key
     * @param side the side that signed
     * @param peer who the signer says it is
     * @param nonce the nonce that was given to it
     * @param proof its proof
     * @return whether the signer holds the key and is who it says
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
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        return bytes.toByteArray();
    }
}
