package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What an entry tells the others about crashes of model servers.
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
     * @param prompts the prompts that it had been asked to answer and had not begun to
     * @param ageMillis how long ago it crashed
     */
    record Crashed(Incarnation server, List<PromptParts> prompts, long ageMillis)
            implements CrashNotice {
        @Override
        public CrashNotice olderBy(long millis) {
            return new Crashed(server, prompts, ageMillis + millis);
        }
    }

    /**
     * A server has begun an answer, so the parts of its prompt did not cause an earlier crash.
     *
     * @param parts the parts that are no longer suspected
     * @param ageMillis how long ago it began
     */
    record Began(PromptParts parts, long ageMillis) implements CrashNotice {
        @Override
        public CrashNotice olderBy(long millis) {
            return new Began(parts, ageMillis + millis);
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
            packer.packArrayHeader(crashed.prompts().size());
            for (PromptParts prompt : crashed.prompts()) {
                packParts(packer, prompt);
            }
        } else if (notice instanceof Began began) {
            packer.packNil();
            packParts(packer, began.parts());
        }
    }

    private static CrashNotice unpack(MessageUnpacker unpacker) throws IOException {
        long ageMillis = Math.max(0, unpacker.unpackLong());
        if (unpacker.tryUnpackNil()) {
            return new Began(unpackParts(unpacker), ageMillis);
        }
        Incarnation server = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
        List<PromptParts> prompts = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            prompts.add(unpackParts(unpacker));
        }
        return new Crashed(server, prompts, ageMillis);
    }

    private static void packParts(MessageBufferPacker packer, PromptParts parts)
            throws IOException {
        packer.packArrayHeader(parts.ids().size());
        for (String id : parts.ids()) {
            packer.packString(id);
        }
    }

    private static PromptParts unpackParts(MessageUnpacker unpacker) throws IOException {
        List<String> ids = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            ids.add(unpacker.unpackString());
        }
        return new PromptParts(ids);
    }
}
