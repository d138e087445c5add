package fawndock;

import fawndock.benchlink.BenchLink;
import java.io.IOException;

/** The command line: {@code benchlink} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs the named subcommand. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar fawndock.jar benchlink");
            System.exit(2);
        }
        System.exit(new BenchLink().run(System.in, System.out, System.err));
    }
}
