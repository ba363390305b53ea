package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.suspects.RequestTrait;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What an entry tells the others about crashes of servers.
 *
 * <p>Times are sent as ages, since the entries' clocks differ.
 */
sealed interface CrashNotice {

    /** Returns how long ago the event was observed, in milliseconds. */
    long ageMillis();

    /**
     * Returns the same notice with a greater age.
     *
     * @param millis the time to add
     */
    CrashNotice olderBy(long millis);

    /**
     * A server has crashed.
     *
     * @param server the server
     * @param requests the requests that it had been asked to answer and had not begun to
     * @param ageMillis how long ago it crashed
     */
    record Crashed(Incarnation server, List<RequestTraits> requests, long ageMillis)
            implements CrashNotice {
        @Override
        public CrashNotice olderBy(long millis) {
            return new Crashed(server, requests, ageMillis + millis);
        }
    }

    /**
     * A server has begun an answer, so the traits of its request did not cause an earlier crash.
     *
     * @param traits the traits that are no longer suspected
     * @param ageMillis how long ago it began
     */
    record Began(List<RequestTrait> traits, long ageMillis) implements CrashNotice {

        /** Copies the list. */
        public Began {
            traits = List.copyOf(traits);
        }

        @Override
        public CrashNotice olderBy(long millis) {
            return new Began(traits, ageMillis + millis);
        }
    }

    /** Encodes notices in MessagePack format. */
    static byte[] encode(List<CrashNotice> notices) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(notices.size());
            for (CrashNotice notice : notices) {
                pack(packer, notice);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes notices.
     *
     * @param bytes the notices in MessagePack format
     * @throws IllegalArgumentException if the bytes are not crash notices
     */
    static List<CrashNotice> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<CrashNotice> notices = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                notices.add(unpack(unpacker));
            }
            return notices;
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("expected crash notices, found: " + e, e);
        }
    }

    private static void pack(MessageBufferPacker packer, CrashNotice notice) throws IOException {
        packer.packLong(notice.ageMillis());
        if (notice instanceof Crashed crashed) {
            packer.packString(crashed.server().id());
            packer.packLong(crashed.server().startedEpochMillis());
            packer.packArrayHeader(crashed.requests().size());
            for (RequestTraits request : crashed.requests()) {
                packTraits(packer, request.traits());
            }
        } else if (notice instanceof Began began) {
            packer.packNil();
            packTraits(packer, began.traits());
        }
    }

    private static CrashNotice unpack(MessageUnpacker unpacker) throws IOException {
        long ageMillis = Math.max(0, unpacker.unpackLong());
        if (unpacker.tryUnpackNil()) {
            return new Began(unpackTraits(unpacker), ageMillis);
        }
        Incarnation server = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
        List<RequestTraits> requests = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            requests.add(new RequestTraits(unpackTraits(unpacker)));
        }
        return new Crashed(server, requests, ageMillis);
    }

    private static void packTraits(MessageBufferPacker packer, List<RequestTrait> traits)
            throws IOException {
        packer.packArrayHeader(traits.size());
        for (RequestTrait trait : traits) {
            packer.packString(trait.label());
        }
    }

    private static List<RequestTrait> unpackTraits(MessageUnpacker unpacker) throws IOException {
        List<RequestTrait> traits = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            traits.add(RequestTrait.parse(unpacker.unpackString()));
        }
        return traits;
    }
}
