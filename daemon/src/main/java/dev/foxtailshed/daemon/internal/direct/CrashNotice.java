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

    /** How long ago the event was observed, in milliseconds. */
    long ageMillis();

    /**
     * A server has crashed.
     *
     * @param server the server
     * @param prompts the prompts that it had been asked to answer and had not begun to
     * @param ageMillis how long ago it crashed
     */
    record Crashed(Incarnation server, List<PromptParts> prompts, long ageMillis)
            implements CrashNotice {}

    /**
     * A server has begun an answer, so the parts of its prompt did not cause an earlier crash.
     *
     * @param parts the parts that are no longer suspected
     * @param ageMillis how long ago it began
     */
    record Began(PromptParts parts, long ageMillis) implements CrashNotice {}

    /** Returns the notice in MessagePack format. */
    default byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(ageMillis());
            if (this instanceof Crashed crashed) {
                packer.packString(crashed.server().id());
                packer.packLong(crashed.server().startedEpochMillis());
                packer.packArrayHeader(crashed.prompts().size());
                for (PromptParts prompt : crashed.prompts()) {
                    packPrompt(packer, prompt);
                }
            } else if (this instanceof Began began) {
                packer.packNil();
                packPrompt(packer, began.parts());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a notice.
     *
     * @param bytes the notice in MessagePack format
     * @throws IllegalArgumentException if the bytes are not a notice
     */
    static CrashNotice decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            long ageMillis = Math.max(0, unpacker.unpackLong());
            if (unpacker.tryUnpackNil()) {
                return new Began(unpackPrompt(unpacker), ageMillis);
            }
            Incarnation server = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
            List<PromptParts> prompts = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                prompts.add(unpackPrompt(unpacker));
            }
            return new Crashed(server, prompts, ageMillis);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("expected a crash notice, found: " + e, e);
        }
    }

    private static void packPrompt(MessageBufferPacker packer, PromptParts prompt)
            throws IOException {
        packer.packArrayHeader(prompt.ids().size());
        for (String id : prompt.ids()) {
            packer.packString(id);
        }
    }

    private static PromptParts unpackPrompt(MessageUnpacker unpacker) throws IOException {
        List<String> ids = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            ids.add(unpacker.unpackString());
        }
        return new PromptParts(ids);
    }
}
