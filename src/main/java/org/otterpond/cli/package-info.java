/**
 * The command line: starting a node, the operators' commands and the tools.
 *
 * <p>The top of the program; nothing depends on it. Commands run on the main thread and block it.
 */
package org.otterpond.cli;
