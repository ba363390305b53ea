package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import java.util.Optional;

/** Decides whether an offer can be granted under the limits of the applied manifest. */
final class AdmissionControl {

    private final Occupancy occupancy;
    private final LedgerSettings settings;
    private long manifestVersion;
    private boolean draining;
    private boolean suspended;

    AdmissionControl(Occupancy occupancy, LedgerSettings settings) {
        this.occupancy = occupancy;
        this.settings = settings;
    }

    boolean applyLimits(long version, int slots, int pieces) {
        if (version <= manifestVersion) {
            return false;
        }
        manifestVersion = version;
        occupancy.setLimits(slots, pieces);
        return true;
    }

    Optional<RequestFailure> findRefusal(ReservationRequest request) {
        if (draining) {
            return refusal(ErrorCode.DRAINING, "the backend server is draining");
        }
        if (suspended) {
            return refusal(ErrorCode.NO_SERVER, "the backend server is unreachable");
        }
        if (manifestVersion == 0) {
            return refusal(ErrorCode.NO_MANIFEST, "the sidecar has no manifest yet");
        }
        if (request.manifestVersion() < manifestVersion) {
            return refusal(
                    ErrorCode.VERSION_CONFLICT,
                    "the entry applies an older manifest than the sidecar");
        }
        if (!occupancy.hasCapacity(1, request.pieces())) {
            return refusal(ErrorCode.OVERLOADED, "not enough free request slots or KV pieces");
        }
        return Optional.empty();
    }

    long expiresInMillis(ReservationRequest request) {
        if (request.kind() != AttemptKind.DECODE) {
            return settings.grantMillis();
        }
        return settings.grantMillis()
                + Math.min(request.neededInMillis(), settings.maximumNeededInMillis());
    }

    void drain() {
        draining = true;
    }

    void setSuspended(boolean unreachable) {
        suspended = unreachable;
    }

    boolean isSuspended() {
        return suspended;
    }

    boolean isDraining() {
        return draining;
    }

    long manifestVersion() {
        return manifestVersion;
    }

    private static Optional<RequestFailure> refusal(ErrorCode code, String text) {
        return Optional.of(RequestFailure.notRun(code, text));
    }
}
