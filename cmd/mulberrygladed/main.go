// Command mulberrygladed is the entry daemon.
package main

func main() {}
