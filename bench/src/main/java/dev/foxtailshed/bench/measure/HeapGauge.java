package dev.foxtailshed.bench.measure;

import com.sun.tools.attach.AttachNotSupportedException;
import com.sun.tools.attach.VirtualMachine;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import javax.management.MBeanServerConnection;
import javax.management.remote.JMXConnector;
import javax.management.remote.JMXConnectorFactory;
import javax.management.remote.JMXServiceURL;

/**
 * Reads the heap usage of another JVM after a full garbage collection.
 *
 * <p>This loads the management agent into that JVM, which increases its resident set; measure the
 * resident set first.
 */
public final class HeapGauge {

    private HeapGauge() {}

    /**
     * Runs a full garbage collection in a JVM and returns the heap in use after it.
     *
     * @param pid the process id of a JVM of the same user
     * @return the bytes in use
     * @throws IOException if the JVM cannot be attached to
     */
    public static long usedBytesAfterCollection(long pid) throws IOException {
        try {
            VirtualMachine machine = VirtualMachine.attach(Long.toString(pid));
            String url = machine.startLocalManagementAgent();
            machine.detach();
            try (JMXConnector connector = JMXConnectorFactory.connect(new JMXServiceURL(url))) {
                MBeanServerConnection connection = connector.getMBeanServerConnection();
                MemoryMXBean memory =
                        ManagementFactory.newPlatformMXBeanProxy(
                                connection,
                                ManagementFactory.MEMORY_MXBEAN_NAME,
                                MemoryMXBean.class);
                memory.gc();
                return memory.getHeapMemoryUsage().getUsed();
            }
        } catch (AttachNotSupportedException e) {
            throw new IOException(e);
        }
    }
}
