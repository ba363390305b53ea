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

/** Reads the complete record of requests through the operator API of an entry. */
final class RecordReader {

    private static final int NAME_SEGMENTS = 4;

    private final EntryClient client;

    RecordReader(EntryClient client) {
        this.client = client;
    }

    /** Reads and decodes all chains, ordered by name. */
    Either<Failure, List<DecodedChain>> readAllChains() {
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
                Either<Failure, EntryClient.EntryResponse> body =
                        client.get("/record?name=" + encode(object.name()));
                if (body.isLeft()) {
                    return Either.left(body.getLeft());
                }
                parseChainId(object.name())
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

    /** Parses an object name of the form records/SIDE/INSTANCE.INCARNATION/SEQUENCE. */
    private static Optional<RecordChainId> parseChainId(String name) {
        String[] segments = name.split("/");
        int lastDot = segments.length == NAME_SEGMENTS ? segments[2].lastIndexOf('.') : -1;
        if (lastDot < 0) {
            return Optional.empty();
        }
        RecordChainId.Side side =
                segments[1].equals("entry") ? RecordChainId.Side.ENTRY : RecordChainId.Side.SIDECAR;
        return Optional.of(
                new RecordChainId(
                        side,
                        segments[2].substring(0, lastDot),
                        segments[2].substring(lastDot + 1)));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** A page of the object listing; further pages follow if {@code more} is set. */
    private record RecordPage(List<RecordObject> objects, boolean more) {}

    /** An object of the listing. */
    private record RecordObject(String name) {}
}
