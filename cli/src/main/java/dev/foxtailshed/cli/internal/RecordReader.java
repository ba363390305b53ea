package dev.foxtailshed.cli.internal;

import dev.foxtailshed.kernel.record.DecodedChain;
import dev.foxtailshed.kernel.record.RecordChainId;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reads the whole record of requests through an entry. */
final class RecordReader {

    private static final int NAME_PARTS = 4;

    private final EntryClient client;

    RecordReader(EntryClient client) {
        this.client = client;
    }

    /** Reads all chains, in order of their names. */
    Either<Failure, List<DecodedChain>> read() {
        Map<RecordChainId, List<byte[]>> stored = new TreeMap<>();
        String after = "";
        boolean more = true;
        while (more) {
            Either<Failure, RecordPage> page =
                    client.get("/records?after=" + encode(after), RecordPage.class);
            if (page.isLeft()) {
                return Either.left(page.getLeft());
            }
            for (RecordObject object : page.get().objects()) {
                Either<Failure, EntryClient.Answer> body =
                        client.get("/record?name=" + encode(object.name()));
                if (body.isLeft()) {
                    return Either.left(body.getLeft());
                }
                chainOf(object.name())
                        .ifPresent(
                                chain ->
                                        stored.computeIfAbsent(chain, key -> new ArrayList<>())
                                                .add(body.get().body()));
                after = object.name();
            }
            more = page.get().more() && !page.get().objects().isEmpty();
        }
        return Either.right(
                stored.entrySet().stream()
                        .map(entry -> DecodedChain.of(entry.getKey(), entry.getValue()))
                        .toList());
    }

    /** Takes a name of the form records/SIDE/INSTANCE.INCARNATION/SEQUENCE apart. */
    private static Optional<RecordChainId> chainOf(String name) {
        String[] parts = name.split("/");
        int dot = parts.length == NAME_PARTS ? parts[2].lastIndexOf('.') : -1;
        if (dot < 0) {
            return Optional.empty();
        }
        RecordChainId.Side side =
                parts[1].equals("entry") ? RecordChainId.Side.ENTRY : RecordChainId.Side.SIDECAR;
        return Optional.of(
                new RecordChainId(side, parts[2].substring(0, dot), parts[2].substring(dot + 1)));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** A page of the list of objects. */
    private record RecordPage(List<RecordObject> objects, boolean more) {}

    /** An object on the list. */
    private record RecordObject(String name) {}
}
