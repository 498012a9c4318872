/**
 * Tools that ship with the program: the self-test, a sample worker and the measurement of the
 * core's cost by fleet size.
 *
 * <p>The tools run nodes and workers on event loops of their own, each with one owner thread. They
 * may use every package but {@code cli}.
 */
package org.otterpond.tools;
