package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.bench.measure.ProcessGauge;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.ledger.AttemptKind;
import dev.foxtailshed.kernel.ledger.LedgerSettings;
import dev.foxtailshed.kernel.ledger.ReservationRequest;
import dev.foxtailshed.kernel.ledger.ServerLedger;
import java.util.List;
import java.util.Optional;

/**
 * Measures the rate at which a ledger on one core reserves, commits and ends attempts, and the heap
 * of the outcomes that it retains.
 */
final class LedgerMeasurement implements ScalingMeasurement {

    private static final LedgerSettings SETTINGS =
            new LedgerSettings(1_000, 30_000, 2_000, 2_000, 600_000, 100_000, 8L << 20);
    private static final List<Integer> SIZES = List.of(20_000, 50_000, 100_000);
    private static final int RESERVATIONS = 200_000;
    private static final int REPETITIONS = 5;
    private static final long INCARNATION = 7;
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public String word() {
        return "ledger";
    }

    @Override
    public void measure(ScalingReport report) {
        for (int i = 0; i <= REPETITIONS; i++) {
            long startNanos = System.nanoTime();
            fill(RESERVATIONS);
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            if (i > 0) {
                report.add("offer, commit and end, a second and core", 1, RESERVATIONS / seconds);
            }
        }
        report.print("Ledger, rate", "one thread");
        for (int size : SIZES) {
            for (int i = 0; i < REPETITIONS; i++) {
                long beforeBytes = HeapInUse.bytes();
                ServerLedger<byte[]> ledger = fill(size);
                double bytes = HeapInUse.bytes() - beforeBytes;
                report.add("heap of remembered outcomes, bytes", size, bytes);
                if (ledger.snapshot().endedRecords() != size) {
                    throw new IllegalStateException("the ledger evicted outcomes");
                }
            }
        }
        report.print("Ledger, memory", "outcomes");
        report.printLine("load average: " + ProcessGauge.loadAverage());
    }

    private static ServerLedger<byte[]> fill(int reservations) {
        ServerLedger<byte[]> ledger = new ServerLedger<>(INCARNATION, SETTINGS);
        ledger.applyLimits(1, 100, 10_000);
        for (int i = 0; i < reservations; i++) {
            AttemptId id = new AttemptId(INCARNATION + 1, i + 1, 0);
            ledger.offer(
                    new ReservationRequest(id, AttemptKind.DECODE, 1, 40, 600, 300), i / 1_000);
            ledger.commit(id, i / 1_000);
            ledger.finish(id, Verdict.RAN, Optional.empty(), 0, i / 1_000);
        }
        return ledger;
    }
}
