package dev.foxtailshed.kernel.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiPredicate;

/** What the workspaces got of the requests that they first sent during a burst. */
final class FairnessReport {

    private final FairnessLoad load;
    private final List<Outcome[]> outcomes = new ArrayList<>();
    private long grantedTokens;

    FairnessReport(FairnessLoad load) {
        this.load = load;
        load.workspaces()
                .forEach(workspace -> outcomes.add(new Outcome[] {new Outcome(), new Outcome()}));
    }

    /** Counts of requests; a request that is sent again is one request. */
    static final class Outcome {
        private int arrived;
        private int served;
        private int inTime;
        private int rejections;
        private int rejectedAtOnce;
        private long waitMillis;

        void recordArrival() {
            arrived++;
        }

        void recordService(long waitedMillis, boolean isInTime) {
            served++;
            inTime += isInTime ? 1 : 0;
            waitMillis += waitedMillis;
        }

        void recordRejection() {
            rejections++;
        }

        void recordRejectedAtOnce() {
            rejectedAtOnce++;
        }

        private void add(Outcome other) {
            arrived += other.arrived;
            served += other.served;
            inTime += other.inTime;
            rejections += other.rejections;
            rejectedAtOnce += other.rejectedAtOnce;
            waitMillis += other.waitMillis;
        }

        double servedShare() {
            return (double) served / Math.max(1, arrived);
        }

        double inTimeShare() {
            return (double) inTime / Math.max(1, arrived);
        }

        double meanWaitMillis() {
            return (double) waitMillis / Math.max(1, served);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "served %.3f in time %.3f wait %4.0f ms rejected %5d at once %5d",
                    servedShare(),
                    inTimeShare(),
                    meanWaitMillis(),
                    rejections,
                    rejectedAtOnce);
        }
    }

    Outcome of(FairnessReplay.Request request) {
        return outcomes.get(request.workspace())[request.kind().ordinal()];
    }

    void recordGrantedTokens(long tokens) {
        grantedTokens += tokens;
    }

    long grantedTokens() {
        return grantedTokens;
    }

    /** Returns the sum over the workspaces and kinds that match. */
    Outcome sum(BiPredicate<Integer, FairnessReplay.Kind> predicate) {
        Outcome sum = new Outcome();
        for (int workspace = 0; workspace < outcomes.size(); workspace++) {
            for (FairnessReplay.Kind kind : FairnessReplay.Kind.values()) {
                if (predicate.test(workspace, kind)) {
                    sum.add(outcomes.get(workspace)[kind.ordinal()]);
                }
            }
        }
        return sum;
    }

    Outcome all() {
        return sum((workspace, kind) -> true);
    }

    Outcome ofWorkspace(int wanted) {
        return sum((workspace, kind) -> workspace == wanted);
    }

    Outcome ofKind(FairnessReplay.Kind wanted) {
        return sum((workspace, kind) -> kind == wanted);
    }

    /** Prints the results of a baseline and of this report beside each other. */
    void printBeside(FairnessReport baseline) {
        System.out.printf(
                "%s: baseline | fair, tokens granted %.3f of the baseline%n",
                load.name(), (double) grantedTokens / baseline.grantedTokens);
        print("all", baseline.all(), all());
        for (FairnessReplay.Kind kind : FairnessReplay.Kind.values()) {
            print(kind.name(), baseline.ofKind(kind), ofKind(kind));
        }
        for (int i = 0; i < outcomes.size(); i++) {
            FairnessLoad.Workspace workspace = load.workspaces().get(i);
            String name =
                    String.format(
                            Locale.ROOT,
                            "workspace %2d, %4.1f %% x %.1f",
                            i,
                            100 * workspace.share(),
                            workspace.burstFactor());
            print(name, baseline.ofWorkspace(i), ofWorkspace(i));
            for (FairnessReplay.Kind kind : FairnessReplay.Kind.values()) {
                int row = kind.ordinal();
                print("  " + kind, baseline.outcomes.get(i)[row], outcomes.get(i)[row]);
            }
        }
    }

    private static void print(String name, Outcome baseline, Outcome fair) {
        System.out.printf("%-24s n %5d | %s | %s%n", name, fair.arrived, baseline, fair);
    }
}
