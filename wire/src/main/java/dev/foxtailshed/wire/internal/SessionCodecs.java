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

/** The codecs of the handshake and of the state that the two sides exchange. */
final class SessionCodecs {

    private SessionCodecs() {}

    static CodecGroup group() {
        return CodecGroup.of(
                List.of(
                        new MessageCodec<>(
                                1,
                                Challenge.class,
                                (out, m) -> out.writeBinary(m.nonce()),
                                in -> new Challenge(in.readBinary("nonce"))),
                        hello(),
                        new MessageCodec<>(
                                3,
                                Welcome.class,
                                (out, m) ->
                                        out.writeString(m.serverName())
                                                .writeLong(m.incarnation())
                                                .writeBinary(m.proof()),
                                in ->
                                        new Welcome(
                                                in.readString("serverName"),
                                                in.readLong("incarnation"),
                                                in.readBinary("proof"))),
                        new MessageCodec<>(
                                4,
                                Heartbeat.class,
                                (out, m) -> out.writeLong(m.manifestVersion()),
                                in -> new Heartbeat(in.readLong("manifestVersion"))),
                        loadReport(),
                        new MessageCodec<>(
                                6,
                                ManifestRequest.class,
                                (out, m) -> out.writeLong(m.newerThanVersion()),
                                in -> new ManifestRequest(in.readLong("newerThanVersion"))),
                        new MessageCodec<>(
                                7,
                                ManifestDocument.class,
                                (out, m) -> out.writeLong(m.version()).writeBinary(m.document()),
                                in ->
                                        new ManifestDocument(
                                                in.readLong("version"), in.readBinary("document"))),
                        new MessageCodec<>(
                                21,
                                InstanceListingRequest.class,
                                (out, m) -> out.writeLong(m.newerThanEpochMillis()),
                                in ->
                                        new InstanceListingRequest(
                                                in.readLong("newerThanEpochMillis"))),
                        instanceListingDocument()));
    }

    private static MessageCodec<InstanceListingDocument> instanceListingDocument() {
        return new MessageCodec<>(
                22,
                InstanceListingDocument.class,
                (out, m) -> out.writeLong(m.asOfEpochMillis()).writeBinary(m.document()),
                in ->
                        new InstanceListingDocument(
                                in.readLong("asOfEpochMillis"), in.readBinary("document")));
    }

    private static MessageCodec<Hello> hello() {
        return new MessageCodec<>(
                2,
                Hello.class,
                (out, m) ->
                        out.writeLong(m.protocolVersion())
                                .writeString(m.instanceId())
                                .writeLong(m.incarnation())
                                .writeBinary(m.proof())
                                .writeBinary(m.nonce()),
                in ->
                        new Hello(
                                in.readInt("protocolVersion"),
                                in.readString("instanceId"),
                                in.readLong("incarnation"),
                                in.readBinary("proof"),
                                in.readBinary("nonce")));
    }

    private static MessageCodec<LoadReport> loadReport() {
        return new MessageCodec<>(
                5,
                LoadReport.class,
                (out, m) ->
                        out.writeLong(m.manifestVersion())
                                .writeBoolean(m.draining())
                                .writeLong(m.freeSlots())
                                .writeLong(m.freePieces())
                                .writeLong(m.queuedTokens())
                                .writeLong(m.linkBacklogBytes()),
                in ->
                        new LoadReport(
                                in.readLong("manifestVersion"),
                                in.readBoolean("draining"),
                                in.readInt("freeSlots"),
                                in.readInt("freePieces"),
                                in.readLong("queuedTokens"),
                                in.readLong("linkBacklogBytes")));
    }
}
