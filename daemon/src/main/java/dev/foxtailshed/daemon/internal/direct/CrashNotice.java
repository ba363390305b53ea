package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.suspects.BrokenRun;
import dev.foxtailshed.kernel.suspects.RequestTrait;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * What an entry tells the others about crashes of servers.
 *
 * <p>Times are sent as ages, since the entries' clocks differ.
 */
sealed interface CrashNotice {

    /**
     * Kinds of notices on the wire. A crash from an entry of an earlier version begins with the
     * server's id instead.
     */
    int CRASHED = 1;

    int ENDED = 2;

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
     * @param runs the requests that it was answering
     * @param ageMillis how long ago it crashed
     */
    record Crashed(
            Incarnation server, List<BrokenRun> requests, List<BrokenRun> runs, long ageMillis)
            implements CrashNotice {
        @Override
        public CrashNotice olderBy(long millis) {
            return new Crashed(server, requests, runs, ageMillis + millis);
        }
    }

    /**
     * A request was answered completely, so that it did not crash a server that was answering it;
     * or an answer to a prompt with a part got further than those that crashes broke off.
     *
     * @param traits the traits that are no longer suspected
     * @param ageMillis how long ago the answer ended; parts of prompts caused no crash that is
     *     longer ago
     */
    record Ended(List<RequestTrait> traits, long ageMillis) implements CrashNotice {

        /** Copies the list. */
        public Ended {
            traits = List.copyOf(traits);
        }

        @Override
        public CrashNotice olderBy(long millis) {
            return new Ended(traits, ageMillis + millis);
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
            packer.packInt(CRASHED);
            packer.packString(crashed.server().id());
            packer.packLong(crashed.server().startedEpochMillis());
            packRuns(packer, crashed.requests());
            packRuns(packer, crashed.runs());
        } else if (notice instanceof Began began) {
            packer.packNil();
            packTraits(packer, began.traits());
        } else if (notice instanceof Ended ended) {
            packer.packInt(ENDED);
            packTraits(packer, ended.traits());
        }
    }

    private static void packRuns(MessageBufferPacker packer, List<BrokenRun> runs)
            throws IOException {
        packer.packArrayHeader(runs.size());
        for (BrokenRun run : runs) {
            packer.packInt(run.events());
            packer.packLong(run.durationMillis());
            packTraits(packer, run.request().traits());
        }
    }

    private static CrashNotice unpack(MessageUnpacker unpacker) throws IOException {
        long ageMillis = Math.max(0, unpacker.unpackLong());
        if (unpacker.tryUnpackNil()) {
            return new Began(unpackTraits(unpacker), ageMillis);
        }
        if (unpacker.getNextFormat().getValueType() == ValueType.STRING) {
            return unpackEarlierFormat(unpacker, ageMillis);
        }
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case CRASHED -> {
                Incarnation server =
                        new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
                yield new Crashed(server, unpackRuns(unpacker), unpackRuns(unpacker), ageMillis);
            }
            case ENDED -> new Ended(unpackTraits(unpacker), ageMillis);
            default ->
                    throw new IllegalArgumentException(
                            "expected crash notices, found kind " + kind);
        };
    }

    /** Unpacks a crash whose requests have no durations; each may be a retry. */
    private static Crashed unpackEarlierFormat(MessageUnpacker unpacker, long ageMillis)
            throws IOException {
        Incarnation server = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
        List<BrokenRun> requests = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            requests.add(new BrokenRun(new RequestTraits(unpackTraits(unpacker)), 0, 0));
        }
        return new Crashed(server, requests, List.of(), ageMillis);
    }

    private static List<BrokenRun> unpackRuns(MessageUnpacker unpacker) throws IOException {
        List<BrokenRun> runs = new ArrayList<>();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            int events = unpacker.unpackInt();
            long durationMillis = unpacker.unpackLong();
            RequestTraits request = new RequestTraits(unpackTraits(unpacker));
            runs.add(new BrokenRun(request, events, durationMillis));
        }
        return runs;
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
