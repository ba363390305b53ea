package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.quota.DrawReply;
import dev.foxtailshed.kernel.direct.quota.KnownEntryCount;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes the messages by which entries transfer credit, as MessagePack. Stateless. */
final class CreditMessages {

    private CreditMessages() {}

    /**
     * A draw as it is sent.
     *
     * @param workspace the name of the workspace
     * @param neededTokens less than that is of no use
     * @param wantedTokens the most that the entry takes
     */
    record DrawRequest(String workspace, double neededTokens, double wantedTokens) {}

    /**
     * A message and the number of entries that its sender divides limits by.
     *
     * @param message the message
     * @param entries the number; empty if the sender does not know it
     * @param <T> the type of the message
     */
    record Envelope<T>(T message, Optional<KnownEntryCount> entries) {}

    /** Writes one message. */
    private interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /** Reads one message. */
    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static byte[] encode(DrawRequest request, Optional<KnownEntryCount> entries) {
        return pack(
                entries,
                packer -> {
                    packer.packString(request.workspace());
                    packer.packDouble(request.neededTokens());
                    packer.packDouble(request.wantedTokens());
                });
    }

    static Envelope<DrawRequest> decodeDrawRequest(byte[] bytes) {
        return unpack(
                bytes,
                unpacker ->
                        new DrawRequest(
                                unpacker.unpackString(),
                                unpacker.unpackDouble(),
                                unpacker.unpackDouble()));
    }

    static byte[] encode(DrawReply reply, Optional<KnownEntryCount> entries) {
        return pack(
                entries,
                packer -> {
                    packer.packDouble(reply.tokens());
                    packer.packLong(reply.creditAfterMillis());
                });
    }

    static Envelope<DrawReply> decodeDrawReply(byte[] bytes) {
        return unpack(
                bytes, unpacker -> new DrawReply(unpacker.unpackDouble(), unpacker.unpackLong()));
    }

    static byte[] encode(List<String> workspaces, Optional<KnownEntryCount> entries) {
        return pack(
                entries,
                packer -> {
                    packer.packArrayHeader(workspaces.size());
                    for (String workspace : workspaces) {
                        packer.packString(workspace);
                    }
                });
    }

    static Envelope<List<String>> decodeWorkspaces(byte[] bytes) {
        return unpack(
                bytes,
                unpacker -> {
                    List<String> workspaces = new ArrayList<>();
                    int count = unpacker.unpackArrayHeader();
                    for (int i = 0; i < count; i++) {
                        workspaces.add(unpacker.unpackString());
                    }
                    return workspaces;
                });
    }

    static byte[] encode(Map<String, Double> tokens, Optional<KnownEntryCount> entries) {
        return pack(
                entries,
                packer -> {
                    packer.packMapHeader(tokens.size());
                    for (Map.Entry<String, Double> entry : tokens.entrySet()) {
                        packer.packString(entry.getKey());
                        packer.packDouble(entry.getValue());
                    }
                });
    }

    static Envelope<Map<String, Double>> decodeTokens(byte[] bytes) {
        return unpack(
                bytes,
                unpacker -> {
                    Map<String, Double> tokens = new HashMap<>();
                    int count = unpacker.unpackMapHeader();
                    for (int i = 0; i < count; i++) {
                        tokens.put(unpacker.unpackString(), unpacker.unpackDouble());
                    }
                    return tokens;
                });
    }

    private static byte[] pack(Optional<KnownEntryCount> entries, Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(entries.map(KnownEntryCount::entries).orElse(0));
            packer.packLong(entries.map(KnownEntryCount::validMillis).orElse(0L));
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing into memory failed", e);
        }
    }

    private static <T> Envelope<T> unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            KnownEntryCount entries =
                    new KnownEntryCount(unpacker.unpackInt(), unpacker.unpackLong());
            return new Envelope<>(
                    reader.read(unpacker),
                    entries.entries() > 0 ? Optional.of(entries) : Optional.empty());
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("expected a message about credit: " + e, e);
        }
    }
}
