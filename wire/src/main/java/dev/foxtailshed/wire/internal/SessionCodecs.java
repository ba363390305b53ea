package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message.Challenge;
import dev.foxtailshed.wire.Message.Heartbeat;
import dev.foxtailshed.wire.Message.Hello;
import dev.foxtailshed.wire.Message.InstanceListingDocument;
import dev.foxtailshed.wire.Message.InstanceListingRequest;
import dev.foxtailshed.wire.Message.LoadReport;
import dev.foxtailshed.wire.Message.ManifestDocument;
import dev.foxtailshed.wire.Message.ManifestRequest;
import dev.foxtailshed.wire.Message.Welcome;
import java.util.List;

/** Codecs of the handshake and of the state that both sides keep of each other. */
final class SessionCodecs {

    private SessionCodecs() {}

    static CodecFactory factory() {
        return CodecFactory.of(
                List.of(
                        new MessageCodec<>(
                                1,
                                Challenge.class,
                                (out, m) -> out.binary(m.nonce()),
                                in -> new Challenge(in.binary("nonce"))),
                        hello(),
                        new MessageCodec<>(
                                3,
                                Welcome.class,
                                (out, m) ->
                                        out.text(m.serverName())
                                                .number(m.incarnation())
                                                .binary(m.proof()),
                                in ->
                                        new Welcome(
                                                in.text("serverName"),
                                                in.number("incarnation"),
                                                in.binary("proof"))),
                        new MessageCodec<>(
                                4,
                                Heartbeat.class,
                                (out, m) -> out.number(m.manifestVersion()),
                                in -> new Heartbeat(in.number("manifestVersion"))),
                        loadReport(),
                        new MessageCodec<>(
                                6,
                                ManifestRequest.class,
                                (out, m) -> out.number(m.newerThanVersion()),
                                in -> new ManifestRequest(in.number("newerThanVersion"))),
                        new MessageCodec<>(
                                7,
                                ManifestDocument.class,
                                (out, m) -> out.number(m.version()).binary(m.document()),
                                in ->
                                        new ManifestDocument(
                                                in.number("version"), in.binary("document"))),
                        new MessageCodec<>(
                                21,
                                InstanceListingRequest.class,
                                (out, m) -> out.number(m.newerThanEpochMillis()),
                                in ->
                                        new InstanceListingRequest(
                                                in.number("newerThanEpochMillis"))),
                        rosterDocument()));
    }

    private static MessageCodec<InstanceListingDocument> rosterDocument() {
        return new MessageCodec<>(
                22,
                InstanceListingDocument.class,
                (out, m) -> out.number(m.asOfEpochMillis()).binary(m.document()),
                in ->
                        new InstanceListingDocument(
                                in.number("asOfEpochMillis"), in.binary("document")));
    }

    private static MessageCodec<Hello> hello() {
        return new MessageCodec<>(
                2,
                Hello.class,
                (out, m) ->
                        out.number(m.protocolVersion())
                                .text(m.instanceId())
                                .number(m.incarnation())
                                .binary(m.proof())
                                .binary(m.nonce()),
                in ->
                        new Hello(
                                in.integer("protocolVersion"),
                                in.text("instanceId"),
                                in.number("incarnation"),
                                in.binary("proof"),
                                in.binary("nonce")));
    }

    private static MessageCodec<LoadReport> loadReport() {
        return new MessageCodec<>(
                5,
                LoadReport.class,
                (out, m) ->
                        out.number(m.manifestVersion())
                                .flag(m.draining())
                                .number(m.freeSlots())
                                .number(m.freePieces())
                                .number(m.queuedTokens())
                                .number(m.linkBacklogBytes()),
                in ->
                        new LoadReport(
                                in.number("manifestVersion"),
                                in.flag("draining"),
                                in.integer("freeSlots"),
                                in.integer("freePieces"),
                                in.number("queuedTokens"),
                                in.number("linkBacklogBytes")));
    }
}
