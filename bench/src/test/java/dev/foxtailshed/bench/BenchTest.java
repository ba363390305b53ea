package dev.foxtailshed.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of command selection and exit codes of {@link Bench}. */
class BenchTest {

    @ParameterizedTest
    @CsvSource({
        "echo --code 0, 0",
        "echo --code 7, 7",
        "echo --code x, 2",
        "other, 2",
        "echo --code -1, 1",
    })
    void runsTheNamedCommand(String line, int expected) throws InterruptedException {
        StringWriter err = new StringWriter();
        Bench bench = new Bench(List.of(new EchoCommand()), new PrintWriter(err));

        assertThat(bench.run(line.split(" "))).as(err.toString()).isEqualTo(expected);
        assertThat(err.toString().isEmpty()).isEqualTo(expected != 1 && expected != 2);
    }

    private static final class EchoCommand implements Command {

        @Override
        public String word() {
            return "echo";
        }

        @Override
        public String help() {
            return "return a code";
        }

        @Override
        public void declare(ArgumentParser parser) {
            parser.addArgument("--code").type(Integer.class).required(true);
        }

        @Override
        public int run(Namespace arguments) throws IOException {
            if (arguments.getInt("code") < 0) {
                throw new IOException("refused");
            }
            return arguments.getInt("code");
        }
    }
}
